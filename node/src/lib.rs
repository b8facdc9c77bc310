//! The live front node: speaks the platform's protocols around the decision module. Clients and machines connect with
//! PostgreSQL's protocol, the rollout API is a line protocol, and discovery is HTTP. The node reports every event to
//! the module and carries out its actions; it makes no decisions itself. Design and operation: `docs/front-node.md`.
mod clients;
mod config;
mod config_file;
mod connection_pool;
mod control_links;
mod effects;
mod executed_ids;
mod lateness;
mod memory;
mod node;
mod recent_answers;
mod rules;
mod shutdown;
mod start_times;

pub use config::Config;
pub use node::run;

#[cfg(test)]
mod tests;
