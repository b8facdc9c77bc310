//! LDAPv3 (RFC 4511) without sockets or clock: [`frames`] splits a stream into messages and rejects malformed ones,
//! [`message`] encodes and decodes them, [`filter`] implements RFC 4515, and [`session`] is a client session:
//! StartTLS, bind, root DSE, then content synchronization (RFC 4533) or paged polling (RFC 2696).
pub mod filter;
pub mod frames;
pub mod message;
pub mod session;

pub use message::{Message, Op};
pub use session::{Action, ContentUpdate, Login, Session, SessionConfig};
