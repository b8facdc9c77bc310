//! The live front node: the platform's protocol around the decision module. Clients and machines speak
//! PostgreSQL's protocol, the desk lines, discovery HTTP. It reports every event to the module and carries out
//! what the module says; it decides nothing itself. Design and operators' part: `docs/front-node.md`.
mod clients;
mod connection_pool;
mod control_links;
mod effects;
mod lateness;
mod node;
mod startup;

pub use node::run;
pub use startup::Startup;

#[cfg(test)]
mod tests;
