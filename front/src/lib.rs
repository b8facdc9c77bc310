//! The running front. It reports every event of the interface to the decision module and carries out what
//! the module says ([`wire`]); it decides nothing itself. What a restarted front may do is in [`restart`].
mod hall;
mod lapses;
pub mod restart;
mod saved;
mod shelf;
mod wire;

pub use hall::run;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a front is given on its command line.
#[derive(Clone)]
pub struct Options {
    pub name: String,
    pub listen: SocketAddr,
    pub controller: SocketAddr,
    pub state: Option<PathBuf>,
    pub seed: u64,
    /// Measure the time spent in the module (a clock reading before and after each call).
    pub profile: bool,
    pub max_clients: usize,
    /// Where other fronts are told to send notes, if not to the socket's own address.
    pub notes_at: Option<SocketAddr>,
    /// The other fronts that it keeps company with; none: it knows of nobody.
    pub peers: Option<rockpick_peers::Circle>,
}
