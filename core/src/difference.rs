//! What a publication changes, as data and as text for people.

use indexmap::IndexMap;
use serde_json::Value;

use crate::config::TeamFile;
use crate::ids::TeamName;

/// The change from one set of team files to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDifference {
    /// Files that are new or changed.
    pub upsert: Vec<TeamFile>,
    /// Teams that are no longer there.
    pub remove: Vec<TeamName>,
}

impl ConfigDifference {
    /// Tells whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }

    /// Returns one line for each team that is new or removed and for each changed field.
    #[must_use]
    pub fn summary(&self, active: &IndexMap<TeamName, TeamFile>) -> Vec<String> {
        let mut lines = Vec::new();
        for team in &self.upsert {
            match active.get(&team.team) {
                Some(old) => summarize_change(old, team, &mut lines),
                None => lines.push(summarize_new(team)),
            }
        }
        for team in &self.remove {
            lines.push(format!("- {team}: removed"));
        }
        lines
    }
}

/// Returns what has to change in `active` to arrive at `desired`.
#[must_use]
pub fn difference(
    active: &IndexMap<TeamName, TeamFile>,
    desired: &IndexMap<TeamName, TeamFile>,
) -> ConfigDifference {
    let is_changed = |(name, team): &(&TeamName, &TeamFile)| active.get(*name) != Some(*team);
    ConfigDifference {
        upsert: desired
            .iter()
            .filter(is_changed)
            .map(|(_, team)| team.clone())
            .collect(),
        remove: active
            .keys()
            .filter(|name| !desired.contains_key(*name))
            .cloned()
            .collect(),
    }
}

fn summarize_new(team: &TeamFile) -> String {
    format!(
        "+ {}: new, {} services, {} guarantees",
        team.team,
        team.services.len(),
        team.guarantees.len()
    )
}

fn summarize_change(old: &TeamFile, new: &TeamFile, lines: &mut Vec<String>) {
    let old_value = serde_json::to_value(old).unwrap_or_default();
    let new_value = serde_json::to_value(new).unwrap_or_default();
    let prefix = format!("~ {}: ", new.team);
    compare(&prefix, "", &old_value, &new_value, lines);
}

fn compare(prefix: &str, path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(before), Value::Object(after)) => {
            let added = after.keys().filter(|name| !before.contains_key(*name));
            for name in before.keys().chain(added) {
                let inner = join(path, name);
                compare(prefix, &inner, &old[name], &new[name], lines);
            }
        }
        _ if old == new => {}
        _ if path == "key_sha256" => lines.push(format!("{prefix}{path} changed")),
        _ => lines.push(format!("{prefix}{path} {old} -> {new}")),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
