//! Ids become small indices at the door: machines by name, open RPCs by id. Shared by the simulator's
//! adapter and the running front; it decides nothing.
//!
//! ```
//! let mut door = rockpick_id_table::IdTable::default();
//! let rpc = door.open(0xaa);
//! door.sent(rpc);
//! door.finish(rpc);
//! assert!(!door.sweep(rpc), "a pick is still out");
//! door.came_back(rpc);
//! assert!(door.sweep(rpc));
//! assert_eq!(door.open(0xbb), rpc, "its slot is used again");
//! ```
use std::collections::HashMap;

/// One RPC's slot: its id, the picks that are out, whether its final answer is given.
#[derive(Clone, Copy, Default)]
struct Slot {
    id: u64,
    out: u32,
    done: bool,
}

#[derive(Default)]
pub struct IdTable {
    machines: HashMap<String, usize>,
    names: Vec<String>,
    /// Numbers of machines that were forgotten.
    spare: Vec<usize>,
    rpcs: HashMap<u64, usize>,
    slots: Vec<Slot>,
    free: Vec<usize>,
}

impl IdTable {
    /// The index of a machine; a name not met before gets the next one, or that of one forgotten.
    pub fn machine(&mut self, name: &str) -> usize {
        if let Some(&index) = self.machines.get(name) {
            return index;
        }
        let index = self.spare.pop().unwrap_or_else(|| {
            self.names.push(String::new());
            self.names.len() - 1
        });
        self.names[index] = name.to_string();
        self.machines.insert(name.to_string(), index);
        index
    }

    /// Forgets a machine: its index goes to the next new name.
    pub fn forget(&mut self, machine: usize) {
        if self.machines.remove(&self.names[machine]).is_some() {
            self.spare.push(machine);
        }
    }

    /// The index of a machine met before.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.machines.get(name).copied()
    }

    pub fn name(&self, machine: usize) -> &str {
        &self.names[machine]
    }

    /// Machines met and not forgotten.
    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    /// A slot for an RPC that was just taken. Its id must not be open already.
    pub fn open(&mut self, id: u64) -> usize {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        self.slots[index] = Slot { id, out: 0, done: false };
        self.rpcs.insert(id, index);
        index
    }

    pub fn rpc(&self, id: u64) -> Option<usize> {
        self.rpcs.get(&id).copied()
    }

    pub fn id(&self, rpc: usize) -> u64 {
        self.slots[rpc].id
    }

    /// A pick was sent; returns its number.
    pub fn sent(&mut self, rpc: usize) {
        self.slots[rpc].out += 1;
    }

    /// A pick has ended.
    pub fn came_back(&mut self, rpc: usize) {
        let slot = &mut self.slots[rpc];
        slot.out = slot.out.saturating_sub(1);
    }

    /// The final answer is given, or no longer owed.
    pub fn finish(&mut self, rpc: usize) {
        self.slots[rpc].done = true;
    }

    pub fn finished(&self, rpc: usize) -> bool {
        self.slots[rpc].done
    }

    /// Frees the slot once nothing more can come for it; true when it did.
    pub fn sweep(&mut self, rpc: usize) -> bool {
        let Slot { id, out, done } = self.slots[rpc];
        let freed = done && out == 0 && self.rpcs.remove(&id).is_some();
        if freed {
            self.free.push(rpc);
        }
        freed
    }

    /// RPCs whose slot is in use.
    pub fn in_use(&self) -> usize {
        self.rpcs.len()
    }
}

/// FNV-1a folded to 16 bits: the same at every front, as notes name machines by it.
pub fn tag(name: &str) -> u32 {
    let hash = name.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (hash >> 16) ^ (hash & 0xffff)
}

/// A key that is any text, as a number: FNV-1a, 64 bits.
pub fn key_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
