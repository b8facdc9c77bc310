//! The front as a process. It reports every event of the interface to the decision module and carries out the
//! module's actions (`effects`); it decides nothing itself. The rules for a restarted front are in
//! [`restart`].
mod call_timeouts;
mod effects;
pub mod restart;
mod server;
mod snapshot;
mod tenants;

pub use server::run;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The command line options of a front.
#[derive(Clone)]
pub struct Options {
    pub name: String,
    pub listen: SocketAddr,
    pub controller: SocketAddr,
    pub state: Option<PathBuf>,
    pub seed: u64,
    /// Measure the time spent in the module, by reading the clock before and after each call.
    pub profile: bool,
    pub max_clients: usize,
    /// The address to which other fronts are told to send notes, if not the address of the socket.
    pub notes_at: Option<SocketAddr>,
    /// How to reach the other fronts for the peer exchange; `None` disables it.
    pub peers: Option<rockpick_peers::Config>,
}
