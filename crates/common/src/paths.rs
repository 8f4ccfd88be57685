//! A small reader of paths: walks a [`Value`] from outside, and collects every fault by the path where it is.

use serde_json::Value;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Most faults that one reading tells of; what is beyond is counted.
pub const FAULTS_MAX: usize = 50;
/// Longest piece of a wrong value that a fault shows, in characters.
const SHOWN: usize = 40;

/// What is wrong at a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where, such as `listeners[0].rules[2].name`; empty for the whole.
    pub path: String,
    /// What, and what would do.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let place = if self.path.is_empty() { "(the whole)" } else { &self.path };
        write!(f, "{place}: {}", self.what)
    }
}

/// All faults of one reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The first of them, at most [`FAULTS_MAX`].
    pub found: Vec<Fault>,
    /// How many more there are.
    pub more: usize,
}

impl Faults {
    /// One fault of the whole.
    pub fn whole(what: impl fmt::Display) -> Faults {
        Faults { found: vec![Fault { path: String::new(), what: what.to_string() }], more: 0 }
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, fault) in self.found.iter().enumerate() {
            write!(f, "{}{fault}", if n > 0 { "; " } else { "" })?;
        }
        if self.more > 0 {
            write!(f, "; and {} more", self.more)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A place in a value, or the place where there is none.
#[derive(Clone)]
pub struct At<'v> {
    value: Option<&'v Value>,
    path: String,
    faults: Rc<RefCell<Faults>>,
}

impl<'v> At<'v> {
    /// The whole of a value.
    pub fn whole(value: &'v Value) -> At<'v> {
        At { value: Some(value), path: String::new(), faults: Rc::default() }
    }

    /// The field of this name, there or not.
    pub fn field(&self, name: &str) -> At<'v> {
        let path = if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        let value = self.value.and_then(|v| v.get(name)).filter(|v| !v.is_null());
        At { value, path, faults: self.faults.clone() }
    }

    /// Whether there is anything here.
    pub fn is_there(&self) -> bool {
        self.value.is_some()
    }

    /// Notes that what is here is wrong.
    pub fn wrong(&self, what: impl fmt::Display) {
        let faults = &mut *self.faults.borrow_mut();
        if faults.found.len() < FAULTS_MAX {
            faults.found.push(Fault { path: self.path.clone(), what: what.to_string() });
        } else {
            faults.more += 1;
        }
    }

    fn expected(&self, what: &str) {
        match self.value {
            None => self.wrong(format_args!("missing: {what} is expected")),
            Some(value) => {
                let shown: String = value.to_string().chars().take(SHOWN).collect();
                self.wrong(format_args!("{what} is expected, not {shown}"));
            }
        }
    }

    /// The text here; empty, and a fault, where there is none.
    pub fn text(&self) -> &'v str {
        match self.value.and_then(Value::as_str) {
            Some(text) => text,
            None => {
                self.expected("a text");
                ""
            }
        }
    }

    /// A text that is not empty.
    pub fn name(&self) -> &'v str {
        let before = self.count();
        let text = self.text();
        if text.is_empty() && self.count() == before {
            self.wrong("must not be empty");
        }
        text
    }

    /// A whole number from 0 on.
    pub fn whole_number(&self) -> u64 {
        match self.value.and_then(Value::as_u64) {
            Some(n) => n,
            None => {
                self.expected("a whole number from 0 on");
                0
            }
        }
    }

    /// A number that is finite and not below 0.
    pub fn number(&self) -> f64 {
        match self.value.and_then(Value::as_f64).filter(|n| n.is_finite() && *n >= 0.0) {
            Some(n) => n,
            None => {
                self.expected("a number from 0 on");
                0.0
            }
        }
    }

    /// True or false.
    pub fn flag(&self) -> bool {
        match self.value.and_then(Value::as_bool) {
            Some(flag) => flag,
            None => {
                self.expected("true or false");
                false
            }
        }
    }

    /// What `read` makes of it, or `otherwise` where there is nothing.
    pub fn or<T>(&self, otherwise: T, read: impl FnOnce(&At<'v>) -> T) -> T {
        if self.is_there() {
            read(self)
        } else {
            otherwise
        }
    }

    /// The parts of the list here.
    pub fn list(&self) -> Vec<At<'v>> {
        let Some(list) = self.value.and_then(Value::as_array) else {
            self.expected("a list");
            return Vec::new();
        };
        let part = |(n, value)| At {
            value: Some(value),
            path: format!("{}[{n}]", self.path),
            faults: self.faults.clone(),
        };
        list.iter().enumerate().map(part).collect()
    }

    /// The fields of the table here, by name.
    pub fn fields(&self) -> Vec<(&'v str, At<'v>)> {
        let Some(fields) = self.value.and_then(Value::as_object) else {
            self.expected("a table");
            return Vec::new();
        };
        fields.keys().map(|name| (name.as_str(), self.field(name))).collect()
    }

    fn count(&self) -> usize {
        let faults = self.faults.borrow();
        faults.found.len() + faults.more
    }

    /// What was read, unless anything was wrong.
    pub fn judge<T>(self, read: T) -> Result<T, Faults> {
        let faults = self.faults.take();
        if faults.is_empty() {
            Ok(read)
        } else {
            Err(faults)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use serde_json::json;

    #[gtest]
    fn every_fault_is_named_by_its_path_in_one_go() {
        let value =
            json!({"a": {"b": [{"n": -1}, {"n": 3}, {"n": "x"}]}, "t": 7, "e": "", "f": 1, "z": null});
        let at = At::whole(&value);
        let read: Vec<u64> =
            at.field("a").field("b").list().iter().map(|b| b.field("n").whole_number()).collect();
        expect_that!(read, elements_are![eq(&0), eq(&3), eq(&0)]);
        at.field("t").text();
        at.field("e").name();
        at.field("f").flag();
        at.field("z").number();
        at.field("l").list();
        expect_that!(at.field("z").or(5, |at| at.whole_number()), eq(5));
        let faults = at.judge(()).unwrap_err();
        let places: Vec<&str> = faults.found.iter().map(|f| f.path.as_str()).collect();
        expect_that!(places, eq(&vec!["a.b[0].n", "a.b[2].n", "t", "e", "f", "z", "l"]));
        expect_that!(
            faults.to_string(),
            contains_substring("a.b[2].n: a whole number from 0 on is expected, not \"x\"")
        );
        expect_that!(faults.to_string(), contains_substring("l: missing: a list is expected"));
    }

    #[gtest]
    fn a_flood_of_faults_is_counted_beyond_its_bound() {
        let value = json!(vec![-1; FAULTS_MAX + 7]);
        let at = At::whole(&value);
        let _: Vec<u64> = at.list().iter().map(At::whole_number).collect();
        let faults = at.judge(()).unwrap_err();
        expect_that!((faults.found.len(), faults.more), eq((FAULTS_MAX, 7)));
        expect_that!(faults.to_string(), ends_with("and 7 more"));
    }
}
