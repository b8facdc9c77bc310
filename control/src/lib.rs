//! The release controller: builds are offered to it, fronts vote, stages move on or back, and everybody is
//! told. [`release`] decides, [`roster`] keeps who is there, [`settings`] holds the settings, [`api`] answers
//! calls; none of them does I/O. [`server`] has the sockets.
pub mod api;
pub mod atomic_file;
pub mod release;
pub mod repo_files;
pub mod roster;
pub mod server;
pub mod settings;

pub use server::Controller;
pub use settings::Settings;
