//! Tenants from a directory. [`model`] makes tenants and identities of entries, and holds back what can't be
//! true; [`limit`] says what a tenant may take at a front; [`source`] says which server to ask, and when.
//! These three have no I/O and no clock. [`link`] is the connection between them and a server.
pub mod limit;

pub mod model;
pub mod source;

pub use limit::Limits;

pub use model::{Directory, Identity, Tenancy, Tenants};
