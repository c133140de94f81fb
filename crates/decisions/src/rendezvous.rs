//! Rendezvous hashing: hosts with the same list of hosts agree on who holds a role, without
//! communication.
//!
//! The agreement is not exclusive: hosts with different lists may choose different holders.

use std::cmp::Reverse;

use dotterellane_units::HostId;

/// Returns the weight of `host` for `role` on `object`; the host with the highest weight holds the
/// role.
pub fn role_weight(role: &str, object: &str, host: &HostId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [role, object, host.as_str()] {
        hasher.update(&[u8::try_from(part.len()).unwrap_or(u8::MAX)]);
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut weight = [0; 8];
    weight.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(weight)
}

/// Returns the hosts by descending weight: the holder first, then those that would replace it.
pub fn role_order<'a, H>(role: &str, object: &str, hosts: H) -> Vec<&'a HostId>
where
    H: IntoIterator<Item = &'a HostId>,
{
    let mut order: Vec<&HostId> = hosts.into_iter().collect();
    order.sort_by_cached_key(|host| Reverse((role_weight(role, object, host), *host)));
    order
}

/// Returns the host that holds the role; `None` if there are no hosts.
pub fn role_holder<'a, H>(role: &str, object: &str, hosts: H) -> Option<&'a HostId>
where
    H: IntoIterator<Item = &'a HostId>,
{
    hosts.into_iter().max_by_key(|host| (role_weight(role, object, host), *host))
}
