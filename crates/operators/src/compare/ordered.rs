//! Lines of which the order counts, compared by their longest common subsequence.

use super::change::{Change, join};

/// Longer lists are reported as a whole: comparing them line by line would take a product of both lengths.
const MAX_LINES: usize = 1_000;

pub(super) fn compare(before: &[String], after: &[String], path: &str, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    if before.len() > MAX_LINES || after.len() > MAX_LINES {
        let [before, after] = [before, after].map(|lines| format!("{} lines", lines.len()));
        changes.push(Change::Changed { path: join(path, "rules"), before, after });
        return;
    }
    let common = common_lengths(before, after);
    let (mut old, mut new) = (0, 0);
    while old < before.len() || new < after.len() {
        if old < before.len() && new < after.len() && before[old] == after[new] {
            old += 1;
            new += 1;
        } else if new >= after.len() || (old < before.len() && common[old + 1][new] >= common[old][new + 1]) {
            let path = join(path, &format!("line {}", old + 1));
            changes.push(Change::Removed { path, before: before[old].clone() });
            old += 1;
        } else {
            let path = join(path, &format!("line {}", new + 1));
            changes.push(Change::Added { path, after: after[new].clone() });
            new += 1;
        }
    }
}

/// For each pair of places the length of the longest common subsequence of what follows there.
fn common_lengths(before: &[String], after: &[String]) -> Vec<Vec<usize>> {
    let mut common = vec![vec![0; after.len() + 1]; before.len() + 1];
    for (old, removed) in before.iter().enumerate().rev() {
        for (new, added) in after.iter().enumerate().rev() {
            common[old][new] = if removed == added {
                common[old + 1][new + 1] + 1
            } else {
                common[old + 1][new].max(common[old][new + 1])
            };
        }
    }
    common
}
