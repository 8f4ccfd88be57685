//! Parses settings from `path=value` pairs. The text wire and the gatekeeper's configuration share this
//! mapping; [`flatten`] converts the configuration's nested form into pairs. No decisions are made here.

use crate::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use thiserror::Error;

/// An invalid field and its position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{}field `{field}`: {fault}", at_line(*.line), of_message(.message))]
pub struct FieldError {
    /// Line number, from 1; 0 if the input has no lines.
    pub line: u64,
    /// The kind of message that contains it; empty if unknown.
    pub message: String,
    /// Path of the field.
    pub field: String,
    /// The kind of fault.
    pub fault: Fault,
}

fn at_line(line: u64) -> String {
    if line > 0 {
        format!("line {line}: ")
    } else {
        String::new()
    }
}

fn of_message(name: &str) -> String {
    if name.is_empty() {
        String::new()
    } else {
        format!("{name}: ")
    }
}

/// The kinds of faults in a field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The field is missing.
    #[error("missing")]
    Missing,
    /// A pair has no `=`.
    #[error("no `=`")]
    NoEquals,
    /// The value does not parse as its type.
    #[error("invalid value `{0}`")]
    InvalidValue(String),
    /// The number is infinite or NaN.
    #[error("must be finite")]
    NotFinite,
    /// The value is not a boolean.
    #[error("`{0}` is not a boolean (1 or 0)")]
    NotBoolean(String),
    /// The value is none of the permitted names.
    #[error("unknown value `{0}`")]
    UnknownValue(String),
    /// No event has this name.
    #[error("unknown event `{0}`")]
    UnknownEvent(String),
    /// Another kind of message is required here.
    #[error("{0} expected")]
    Expected(&'static str),
    /// The list is empty but must not be.
    #[error("must not be empty")]
    EmptyList,
    /// No instance with this number was launched.
    #[error("no such instance")]
    UnknownInstance,
}

/// One message: its name, its fields and its line number.
pub struct Fields<'a> {
    /// The kind of message.
    pub name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
    /// Line number in the input; 0 if the input has no lines.
    line: u64,
}

impl<'a> Fields<'a> {
    /// Parses a line of the text wire: a name and tab-separated pairs.
    pub fn parse(text: &'a str, line: u64) -> Result<Self, FieldError> {
        let mut parts = text.split('\t');
        let name = parts.next().unwrap_or_default();
        let mut values = BTreeMap::new();
        for part in parts {
            let (key, value) = part.split_once('=').ok_or_else(|| FieldError {
                line,
                message: String::new(),
                field: part.to_owned(),
                fault: Fault::NoEquals,
            })?;
            values.insert(key, value);
        }
        Ok(Fields { name, values, line })
    }

    /// Builds a message from pairs that do not come from a line.
    pub fn from_pairs(name: &'a str, pairs: &'a [(String, String)]) -> Self {
        let values = pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        Fields { name, values, line: 0 }
    }

    /// An error for a field of this message.
    pub fn error(&self, field: &str, fault: Fault) -> FieldError {
        FieldError { line: self.line, message: self.name.to_owned(), field: field.to_owned(), fault }
    }

    /// An optional string; empty if absent.
    pub fn text_or_empty(&self, field: &str) -> &'a str {
        self.values.get(field).copied().unwrap_or_default()
    }

    /// A required string.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.values.get(field).copied().ok_or_else(|| self.error(field, Fault::Missing))
    }

    /// An optional value.
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, FieldError> {
        let Some(value) = self.values.get(field) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| self.error(field, Fault::InvalidValue((*value).to_owned())))
    }

    /// A required value.
    pub fn number<T: FromStr>(&self, field: &str) -> Result<T, FieldError> {
        self.optional(field)?.ok_or_else(|| self.error(field, Fault::Missing))
    }

    /// A required unsigned integer.
    pub fn int(&self, field: &str) -> Result<u64, FieldError> {
        self.number(field)
    }

    /// A required finite number.
    pub fn float(&self, field: &str) -> Result<f64, FieldError> {
        self.checked(field)?.ok_or_else(|| self.error(field, Fault::Missing))
    }

    /// An optional finite number.
    pub fn checked(&self, field: &str) -> Result<Option<f64>, FieldError> {
        match self.optional::<f64>(field)? {
            Some(n) if !n.is_finite() => Err(self.error(field, Fault::NotFinite)),
            n => Ok(n),
        }
    }

    /// A finite number; 0 if absent.
    pub fn float_or_zero(&self, field: &str) -> Result<f64, FieldError> {
        Ok(self.checked(field)?.unwrap_or(0.0))
    }

    /// A duration in microseconds; 0 if absent.
    pub fn span_or_zero(&self, field: &str) -> Result<Micros, FieldError> {
        Ok(self.optional(field)?.unwrap_or(0))
    }

    /// A boolean; false if absent.
    pub fn flag(&self, field: &str) -> Result<bool, FieldError> {
        match self.values.get(field).copied() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(self.error(field, Fault::NotBoolean(other.to_owned()))),
        }
    }

    /// A required value out of the named choices.
    pub fn choice<T: Copy>(&self, field: &str, choices: &[(&str, T)]) -> Result<T, FieldError> {
        let value = self.text(field)?;
        let found = choices.iter().find(|(name, _)| *name == value).map(|(_, choice)| *choice);
        found.ok_or_else(|| self.error(field, Fault::UnknownValue(value.to_owned())))
    }
}

/// The names of classes and plans in the settings.
#[derive(Clone, Debug)]
pub struct Names {
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the plans, in order.
    pub plans: Vec<String>,
}

/// Parses a gatekeeper's settings.
pub fn settings(f: &Fields) -> Result<(Settings, Names), FieldError> {
    let mut names = Names { classes: Vec::new(), plans: Vec::new() };
    let mut classes = Vec::new();
    for i in 0..f.optional::<usize>("services.count")?.unwrap_or(0) {
        let at = |key: &str| format!("services.{i}.{key}");
        use {DedupGroup::*, Effect::*};
        let effects =
            [("idempotent", Idempotent), ("deduplicated", Deduplicated), ("at_most_once", AtMostOnce)];
        let groups = [("all", All), ("zone", Zone), ("cell", Cell)];
        let effect = f.choice(&at("effect"), &effects)?;
        names.classes.push(f.text(&at("name"))?.into());
        classes.push(Class {
            aim: f.int(&at("aimUs"))?,
            deadline: f.int(&at("giveUpUs"))?,
            effect,
            group: if effect == Deduplicated { f.choice(&at("group"), &groups)? } else { All },
            key_window: f.span_or_zero(&at("keyTtlUs"))?,
        });
    }
    let mut plans = Vec::new();
    for i in 0..f.optional::<usize>("tiersOfService.count")?.unwrap_or(0) {
        let number = |key: &str| f.float_or_zero(&format!("tiersOfService.{i}.{key}"));
        names.plans.push(f.text(&format!("tiersOfService.{i}.name"))?.into());
        plans.push(Plan {
            rate: number("rate")?,
            burst: number("storeSize")?,
            open: number("open")?,
            ceiling_rate: number("hardRate")?,
            ceiling_burst: number("capDepth")?,
            ceiling_slack: number("ceilingSlack")?,
            over_quota_value: number("beyondEarns")?,
            over_quota_cost: number("overCost")?,
        });
    }
    let settings = Settings {
        instances: f.number("instances")?,
        index: f.optional("me")?.unwrap_or(0),
        resolution: f.span_or_zero("resolutionUs")?,
        zone: Zone(f.text_or_empty("zone").into()),
        counter: f.flag("familyInfo.mayCount")?,
        counter_timeout: f.span_or_zero("familyInfo.countWaitUs")?,
        max_request_units: f.float_or_zero("familyInfo.mostUnits")?,
        estimated_units: f.flag("familyInfo.costAfter")?,
        subscribe: f.text_or_empty("registryMode") == "on_request",
        classes,
        plans,
        limits: Limits {
            // The defaults are the most restrictive: one attempt, no hedging, no retry advice.
            max_attempts: f.optional("limits.maxAttempts")?.unwrap_or(1),
            hedging: f.flag("limits.mayDuplicate")?,
            cancel: f.flag("limits.mayCancel")?,
            max_retry_after: if f.flag("limits.retryAfter")? {
                f.span_or_zero("limits.maxRetryAfterUs")?
            } else {
                0
            },
        },
        rules: ColdStartRules {
            cold_from: f.float("rules.coldFrom")?,
            cold_for: f.int("rules.coldUs")?,
            fall_multiple: f.float("rules.fallMultiple")?,
            fall_after: f.int("rules.tipAfterUs")?,
        },
    };
    Ok((settings, names))
}

/// Flattens nested settings into the pairs of the text wire: `a.b`; for lists `a.count` and `a.0`.
pub fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(&at(key), value, pairs)),
        Value::Array(items) => {
            pairs.push((at("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, item)| flatten(&at(&i.to_string()), item, pairs));
        }
        Value::Null => {}
        Value::String(text) => pairs.push((path.to_owned(), text.clone())),
        // Integral floats print without a fraction, so that spans written as `5.0` are accepted too.
        Value::Number(n) if n.is_f64() => {
            pairs.push((path.to_owned(), n.as_f64().unwrap_or_default().to_string()))
        }
        other => pairs.push((path.to_owned(), other.to_string())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn absent_limits_default_to_the_most_restrictive() {
        let document = serde_json::json!({
            "instances": 100,
            "limits": {"retryAfter": true},
            "rules": {"coldFrom": 0.2, "coldUs": 1_000, "fallMultiple": 2, "tipAfterUs": 1_000},
        });
        let mut pairs = Vec::new();
        flatten("", &document, &mut pairs);
        let (settings, _) = settings(&Fields::from_pairs("settings", &pairs)).unwrap();
        let limits = &settings.limits;
        assert_eq!((limits.max_attempts, limits.max_retry_after), (1, 0));
        assert!(!limits.hedging && !limits.cancel && !settings.counter);
        assert_eq!(settings.index, 0);
    }
}
