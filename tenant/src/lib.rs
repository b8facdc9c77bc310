//! Tenants from an LDAP directory. [`model`] builds tenants and identities from entries and holds back implausible
//! losses; [`limit`] decides which RPCs of a tenant a front admits; [`server_selector`] decides which server to
//! connect to, and when. These three do no I/O and read no clock. [`link`] is the connection to a server, on the
//! caller's event loop; [`worker`] is the thread that builds versions from entries.
pub mod limit;
pub mod link;
pub mod model;
pub mod server_selector;
pub mod settings;
pub mod worker;

pub use limit::{Limits, UnknownCallers};
pub use link::Link;
pub use model::{Directory, EntryMapping, Identity, Tenants};
pub use settings::DirectorySettings;
pub use worker::DirectoryWorker;
