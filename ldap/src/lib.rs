//! LDAPv3 (RFC 4511) without sockets and clock: [`frames`] cuts a stream into messages and refuses what lies
//! about itself, [`message`] reads and writes them, [`filter`] is RFC 4515, [`session`] is a client's whole way:
//! StartTLS, bind, root DSE, content synchronisation (RFC 4533) or paged polling (RFC 2696).
pub mod filter;
pub mod frames;
pub mod message;
pub mod session;

pub use message::{Message, Op};
pub use session::{Login, News, Out, Quest, Session};
