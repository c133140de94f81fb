//! Places for the tunnels that a host serves, divided between the hosts that ask for them.
//!
//! A host gets another place only while it has fewer than are free. One alone leaves half of them,
//! and each further one finds some, without a number of hosts that has to be known.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// Places in use, by the address of the host that has them.
#[derive(Clone, Debug)]
pub struct TunnelPlaces {
    capacity: usize,
    taken: BTreeMap<IpAddr, usize>,
}

impl TunnelPlaces {
    /// Creates `capacity` free places.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, taken: BTreeMap::new() }
    }

    /// Takes a place for the host at `source`; returns whether it gets one.
    pub fn take(&mut self, source: IpAddr) -> bool {
        let free = self.capacity.saturating_sub(self.taken.values().sum());
        let own = self.taken.get(&source).copied().unwrap_or(0);
        let granted = own < free;
        if granted {
            self.taken.insert(source, own + 1);
        }
        granted
    }

    /// Gives back a place of the host at `source`.
    pub fn release(&mut self, source: IpAddr) {
        let Some(own) = self.taken.get_mut(&source) else { return };
        *own -= 1;
        if *own == 0 {
            self.taken.remove(&source);
        }
    }
}
