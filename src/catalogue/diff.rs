//! Differences between two catalogues, by account, entry and field.

use {
    bilberryfront_decide::catalog::CatalogDoc,
    serde::Serialize,
    serde_json::Value,
    std::collections::{BTreeMap, BTreeSet},
};

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Difference {
    /// Name of the account or entry, such as `entry verify-llm`.
    pub part: String,
    /// Path of the field, such as `limits.concurrent`.
    pub field: String,
    /// Old value; absent if the field was added.
    pub before: Option<String>,
    /// New value; absent if the field was removed.
    pub after: Option<String>,
}

type Fields = BTreeMap<(String, String), String>;

/// Returns every field that differs, accounts first.
pub fn diff(before: &CatalogDoc, after: &CatalogDoc) -> Vec<Difference> {
    let (before, after) = (fields(before), fields(after));
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| Difference {
            part: key.0.clone(),
            field: key.1.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

fn fields(doc: &CatalogDoc) -> Fields {
    let mut fields = Fields::new();
    for account in &doc.accounts {
        collect(&format!("account {}", account.name), account, &mut fields);
    }
    for entry in &doc.entries {
        collect(&format!("entry {}", entry.name), entry, &mut fields);
    }
    fields
}

fn collect(part: &str, value: &impl Serialize, fields: &mut Fields) {
    let value = serde_json::to_value(value).expect("catalogues always serialize");
    flatten(part, "", &value, fields);
}

/// Collects the fields of objects, and of lists whose elements name an account. Other values are
/// compared as a whole.
fn flatten(part: &str, field: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Object(object) => {
            for (name, value) in object.iter().filter(|(name, _)| *name != "account") {
                flatten(part, &join(field, name), value, fields);
            }
        }
        Value::Array(list) if list.iter().any(|v| v.get("account").is_some()) => {
            for value in list {
                let name = value["account"].as_str().unwrap_or_default();
                flatten(part, &join(field, name), value, fields);
            }
        }
        value => _ = fields.insert((part.into(), field.into()), text(value)),
    }
}

fn join(field: &str, name: &str) -> String {
    match field {
        "" => name.into(),
        _ => format!("{field}.{name}"),
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
