//! Tenants from a directory. [`model`] makes tenants and identities of entries, and holds back what can't be
//! true; [`limit`] says what a tenant may take at a front; [`source`] says which server to ask, and when.
//! These three have no I/O and no clock. [`link`] is the connection to a server,
//! on the caller's event loop; [`keeper`] the thread on which entries become versions.
pub mod books;
pub mod keeper;
pub mod limit;
pub mod link;
pub mod model;
pub mod source;

pub use books::Books;
pub use keeper::Keeper;
pub use limit::{Limits, Unknown};
pub use link::Link;
pub use model::{Directory, Identity, Tenancy, Tenants};
