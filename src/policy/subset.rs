//! Chooses the servers of a large pool to which an entry keeps links.

use crate::base::stable_hash;

/// The number of links that an entry keeps to one pool.
///
/// With 3,300 samplers, a full mesh from 460 entries would have 1.5 million links. An
/// entry that serves two pools keeps 32, which fits its budget for control traffic
/// (`docs/CAPACITY.md`); an agent in a pool of 412 gets about 18.
pub const SUBSET_SIZE: usize = 16;

/// Ranks `servers` by a hash of their names with that of `entry`, and returns the first
/// `size`.
///
/// This is rendezvous hashing: a server that joins or leaves changes only its own
/// place, and each server is kept by about the same number of entries.
pub fn choose<'a>(
    entry: &str,
    servers: impl Iterator<Item = &'a str>,
    size: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = servers
        .map(|server| (stable_hash(&[entry.as_bytes(), server.as_bytes()]), server))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, server)| server).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn links_are_spread_evenly_and_a_lost_server_changes_one() {
        let servers: Vec<String> = (0..330).map(|i| format!("sampler-{i}")).collect();
        let mut kept = vec![0; servers.len()];
        for entry in 0..460 {
            let entry = format!("entry-{entry}");
            let before = choose(&entry, servers.iter().map(String::as_str), SUBSET_SIZE);
            let after = choose(&entry, servers[1..].iter().map(String::as_str), SUBSET_SIZE);
            let gone = before.iter().filter(|name| !after.contains(name)).count();
            assert!(gone <= 1);
            for name in before {
                let index = servers.iter().position(|server| server == name);
                kept[index.unwrap()] += 1;
            }
        }
        let most = kept.iter().max().unwrap();
        let least = kept.iter().min().unwrap();
        // Four standard deviations around the binomial mean.
        let share = SUBSET_SIZE as f64 / 330.0;
        let mean = 460.0 * share;
        let spread = 4.0 * (mean * (1.0 - share)).sqrt();
        let (least, most) = (f64::from(*least), f64::from(*most));
        assert!(
            least >= mean - spread && most <= mean + spread,
            "{least}..{most}"
        );
    }
}
