//! Stand-ins for what surrounds the product in service: machines that run builds, and clients. They keep
//! records of what crossed their ends of the sockets, from which a rehearsal is judged.
pub mod client;
pub mod client_model;
pub mod directory;
pub mod faulty;
pub mod machine;
pub mod machine_model;
pub mod record;
pub mod schedule;
pub mod scripted;

pub use client::Clients;
pub use client_model::Load;
pub use directory::DirectoryServer;
pub use faulty::Faulty;
pub use machine::Machine;
pub use machine_model::Defect;
pub use schedule::Arrivals;
