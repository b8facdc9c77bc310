//! The release controller: builds are offered to it, fronts vote, stages move on or back, and everybody is
//! told. [`release`] decides, [`roster`] keeps who is there, [`charter`] holds the settings, [`desk`] answers
//! calls; none of them does I/O. [`server`] has the sockets.
pub mod charter;
pub mod desk;
pub mod files;
pub mod keep;
pub mod release;
pub mod roster;
pub mod server;

pub use charter::Charter;
pub use server::Controller;
