//! Signed manifests in the format of the TUF specification 1.0: [`meta`] has the format, [`client`] the
//! verifier's workflow without I/O, [`repo`] the repository and its keys.
pub mod client;
pub mod meta;
pub mod repo;
#[cfg(test)]
mod tests;
