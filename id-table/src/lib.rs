//! Maps machine names and the ids of open RPCs to small, reusable indices. Shared by the simulator's adapter and
//! the live fronts; it makes no decisions.
//!
//! ```
//! let mut ids = rockpick_id_table::IdTable::default();
//! let rpc = ids.open(0xaa);
//! ids.pick_sent(rpc);
//! ids.finish(rpc);
//! assert!(!ids.release(rpc), "a pick is outstanding");
//! ids.pick_ended(rpc);
//! assert!(ids.release(rpc));
//! assert_eq!(ids.open(0xbb), rpc, "the slot is reused");
//! ```
use std::collections::HashMap;

/// An open RPC: its id, the number of its outstanding picks, and whether its final answer was given.
#[derive(Clone, Copy, Default)]
struct Slot {
    id: u64,
    outstanding: u32,
    finished: bool,
}

#[derive(Default)]
pub struct IdTable {
    machines: HashMap<String, usize>,
    names: Vec<String>,
    /// Indices of forgotten machines, to be used again.
    free_machines: Vec<usize>,
    rpcs: HashMap<u64, usize>,
    slots: Vec<Slot>,
    free_slots: Vec<usize>,
}

impl IdTable {
    /// The index of a machine. A new name gets a free or the next index.
    pub fn intern_machine(&mut self, name: &str) -> usize {
        if let Some(&index) = self.machines.get(name) {
            return index;
        }
        let index = self.free_machines.pop().unwrap_or_else(|| {
            self.names.push(String::new());
            self.names.len() - 1
        });
        self.names[index] = name.to_string();
        self.machines.insert(name.to_string(), index);
        index
    }

    /// Frees a machine's index for the next new name.
    pub fn forget_machine(&mut self, machine: usize) {
        if self.machines.remove(&self.names[machine]).is_some() {
            self.free_machines.push(machine);
        }
    }

    pub fn machine_index(&self, name: &str) -> Option<usize> {
        self.machines.get(name).copied()
    }

    pub fn machine_name(&self, machine: usize) -> &str {
        &self.names[machine]
    }

    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Allocates a slot for a new RPC. Its id must not be open already.
    pub fn open(&mut self, id: u64) -> usize {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        self.slots[index] = Slot { id, outstanding: 0, finished: false };
        self.rpcs.insert(id, index);
        index
    }

    pub fn rpc(&self, id: u64) -> Option<usize> {
        self.rpcs.get(&id).copied()
    }

    pub fn id(&self, rpc: usize) -> u64 {
        self.slots[rpc].id
    }

    pub fn pick_sent(&mut self, rpc: usize) {
        self.slots[rpc].outstanding += 1;
    }

    pub fn pick_ended(&mut self, rpc: usize) {
        let slot = &mut self.slots[rpc];
        slot.outstanding = slot.outstanding.saturating_sub(1);
    }

    /// Marks the RPC's final answer as given, or as no longer needed.
    pub fn finish(&mut self, rpc: usize) {
        self.slots[rpc].finished = true;
    }

    pub fn finished(&self, rpc: usize) -> bool {
        self.slots[rpc].finished
    }

    /// Frees the RPC's slot if it is finished and has no outstanding pick; returns whether it did.
    pub fn release(&mut self, rpc: usize) -> bool {
        let Slot { id, outstanding, finished } = self.slots[rpc];
        let freed = finished && outstanding == 0 && self.rpcs.remove(&id).is_some();
        if freed {
            self.free_slots.push(rpc);
        }
        freed
    }

    /// RPCs whose slot is in use: those without a final answer, and those with an outstanding pick.
    pub fn open_rpcs(&self) -> usize {
        self.rpcs.len()
    }
}

/// FNV-1a folded to 16 bits. It must be the same at every front, as notes between fronts identify machines by it.
pub fn tag(name: &str) -> u32 {
    let hash = name.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (hash >> 16) ^ (hash & 0xffff)
}

/// 64-bit FNV-1a hash of a key.
pub fn key_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
