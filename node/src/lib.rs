//! The live front node: speaks the platform's protocols around the decision module. Clients and machines connect with
//! PostgreSQL's protocol, the rollout API is a line protocol, and discovery is HTTP. The node reports every event to
//! the module and carries out its actions; it makes no decisions itself. Design and operation: `docs/front-node.md`.
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
