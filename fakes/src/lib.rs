//! Fakes of the systems around the product: machines that run builds, clients, a directory, the platform, and faulty
//! fronts. They record what crossed their ends of the sockets, and a rehearsal is judged from these records.
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
