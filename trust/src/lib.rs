//! Signed metadata in the format of the TUF specification 1.0: [`meta`] is the format, [`client`] the client workflow
//! without I/O, [`repo`] the repository and its keys.
pub mod client;
pub mod meta;
pub mod repo;
#[cfg(test)]
mod tests;
