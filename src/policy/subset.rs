//! Which servers of a large pool an entry keeps links to.

use crate::base::stable_hash;

/// The links that an entry keeps to one pool.
///
/// With 3,300 samplers in 8 data centres a full mesh from 460 entries would
/// be 1.5 million links; this many for each entry make 11,040 to 33,120 in all.
pub const SUBSET: usize = 24;

/// Orders `servers` by their weight for `who`, best first, and keeps `size`.
///
/// Rendezvous hashing: a server that joins or leaves changes only its own
/// place, and each server is kept by about the same number of entries.
pub fn choose<'a>(who: &str, servers: impl Iterator<Item = &'a str>, size: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = servers
        .map(|server| (stable_hash(&[who.as_bytes(), server.as_bytes()]), server))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, server)| server).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spread_evenly_and_changed_little() {
        let servers: Vec<String> = (0..330).map(|i| format!("sampler-{i}")).collect();
        let mut kept = vec![0; servers.len()];
        for entry in 0..460 {
            let who = format!("entry-{entry}");
            let before = choose(&who, servers.iter().map(String::as_str), SUBSET);
            let after = choose(&who, servers[1..].iter().map(String::as_str), SUBSET);
            let gone = before.iter().filter(|name| !after.contains(name)).count();
            assert!(gone <= 1);
            for name in before {
                let index = servers.iter().position(|server| server == name);
                kept[index.unwrap()] += 1;
            }
        }
        let most = kept.iter().max().unwrap();
        let least = kept.iter().min().unwrap();
        assert!(*least >= 14 && *most <= 56, "{least}..{most}");
    }
}
