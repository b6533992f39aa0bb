//! The difference between two configurations, as data and as a readable summary.

use indexmap::IndexMap;
use serde_json::Value;

use crate::config::TeamFile;
use crate::ids::TeamName;

/// Changes that turn one configuration into another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDifference {
    /// New and changed files.
    pub upsert: Vec<TeamFile>,
    /// Teams to remove.
    pub remove: Vec<TeamName>,
}

impl ConfigDifference {
    /// Returns whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }

    /// Returns one line for each new or removed team and for each changed field.
    ///
    /// Lines start with `+`, `-` or `~`. Changed keys are listed without their digests.
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

/// Returns the changes that turn the `active` configuration into the `desired` one.
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
