//! The release controller: operators offer builds, fronts vote, and the controller advances or rolls back a build's
//! stages and tells fronts and agents. [`release`] decides, [`roster`] tracks machines, [`settings`] parses and
//! validates the settings, and [`api`] handles requests; none of them does I/O. [`server`] has the sockets.
pub mod api;
pub mod atomic_file;
pub mod release;
pub mod repo_files;
pub mod roster;
pub mod server;
pub mod settings;

pub use server::Controller;
pub use settings::Settings;
