//! Stand-ins for what surrounds the product in service: machines that run builds, and clients. They keep
//! records of what crossed their ends of the sockets, from which a rehearsal is judged.
pub mod client;
pub mod crowd;
pub mod directory;
pub mod faulty;
pub mod machine;
pub mod record;
pub mod schedule;
pub mod scripted;
pub mod shop;

pub use client::Clients;
pub use crowd::Load;
pub use directory::DirectoryServer;
pub use faulty::Faulty;
pub use machine::Machine;
pub use schedule::Arrivals;
pub use shop::Bad;
