//! Reads and validates untrusted [`Value`]s, and collects every error with the path of its field.

use serde_json::Value;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Maximum number of errors that are reported in full; further ones are only counted.
pub const ERRORS_MAX: usize = 50;
/// Maximum length of an invalid value in an error message, characters.
const SHOWN_MAX: usize = 40;

/// An invalid value and its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The path, such as `listeners[0].rules[2].name`; empty for the root.
    pub path: String,
    /// What is wrong, and what is expected.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let path = if self.path.is_empty() { "(the whole)" } else { &self.path };
        write!(f, "{path}: {}", self.message)
    }
}

/// All errors in one value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors {
    /// The first errors, at most [`ERRORS_MAX`].
    pub found: Vec<ValidationError>,
    /// Number of further errors.
    pub more: usize,
}

impl ValidationErrors {
    /// A single error at the root.
    pub fn root(message: impl fmt::Display) -> ValidationErrors {
        ValidationErrors {
            found: vec![ValidationError { path: String::new(), message: message.to_string() }],
            more: 0,
        }
    }

    /// Whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, error) in self.found.iter().enumerate() {
            write!(f, "{}{error}", if n > 0 { "; " } else { "" })?;
        }
        if self.more > 0 {
            write!(f, "; and {} more", self.more)?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

/// A position in a value, at which there may be no value.
#[derive(Clone)]
pub struct Cursor<'v> {
    value: Option<&'v Value>,
    path: String,
    errors: Rc<RefCell<ValidationErrors>>,
}

impl<'v> Cursor<'v> {
    /// The root of a value.
    pub fn root(value: &'v Value) -> Cursor<'v> {
        Cursor { value: Some(value), path: String::new(), errors: Rc::default() }
    }

    /// The field with this name, which may be absent.
    pub fn field(&self, name: &str) -> Cursor<'v> {
        let path = if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        let value = self.value.and_then(|v| v.get(name)).filter(|v| !v.is_null());
        Cursor { value, path, errors: self.errors.clone() }
    }

    /// Whether there is a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Records an error at this position.
    pub fn add_error(&self, message: impl fmt::Display) {
        let errors = &mut *self.errors.borrow_mut();
        if errors.found.len() < ERRORS_MAX {
            errors.found.push(ValidationError { path: self.path.clone(), message: message.to_string() });
        } else {
            errors.more += 1;
        }
    }

    fn add_expected(&self, what: &str) {
        match self.value {
            None => self.add_error(format_args!("missing: {what} is expected")),
            Some(value) => {
                let shown: String = value.to_string().chars().take(SHOWN_MAX).collect();
                self.add_error(format_args!("{what} is expected, not {shown}"));
            }
        }
    }

    /// The string here. Records an error and returns an empty string if there is none.
    pub fn text(&self) -> &'v str {
        match self.value.and_then(Value::as_str) {
            Some(text) => text,
            None => {
                self.add_expected("a text");
                ""
            }
        }
    }

    /// The non-empty string here. Records an error and returns an empty string if there is none.
    pub fn name(&self) -> &'v str {
        let before = self.error_count();
        let text = self.text();
        if text.is_empty() && self.error_count() == before {
            self.add_error("must not be empty");
        }
        text
    }

    /// The non-negative integer here. Records an error and returns 0 if there is none.
    pub fn integer(&self) -> u64 {
        match self.value.and_then(Value::as_u64) {
            Some(n) => n,
            None => {
                self.add_expected("a whole number from 0 on");
                0
            }
        }
    }

    /// The finite, non-negative number here. Records an error and returns 0 if there is none.
    pub fn number(&self) -> f64 {
        match self.value.and_then(Value::as_f64).filter(|n| n.is_finite() && *n >= 0.0) {
            Some(n) => n,
            None => {
                self.add_expected("a number from 0 on");
                0.0
            }
        }
    }

    /// The boolean here. Records an error and returns `false` if there is none.
    pub fn flag(&self) -> bool {
        match self.value.and_then(Value::as_bool) {
            Some(flag) => flag,
            None => {
                self.add_expected("true or false");
                false
            }
        }
    }

    /// Reads the value with `read`, or returns `default` if there is no value.
    pub fn optional<T>(&self, default: T, read: impl FnOnce(&Cursor<'v>) -> T) -> T {
        if self.is_present() {
            read(self)
        } else {
            default
        }
    }

    /// The elements of the list here. Records an error and returns none if there is no list.
    pub fn list(&self) -> Vec<Cursor<'v>> {
        let Some(list) = self.value.and_then(Value::as_array) else {
            self.add_expected("a list");
            return Vec::new();
        };
        let element = |(n, value)| Cursor {
            value: Some(value),
            path: format!("{}[{n}]", self.path),
            errors: self.errors.clone(),
        };
        list.iter().enumerate().map(element).collect()
    }

    /// The fields of the table here, by name. Records an error and returns none if there is no table.
    pub fn fields(&self) -> Vec<(&'v str, Cursor<'v>)> {
        let Some(fields) = self.value.and_then(Value::as_object) else {
            self.add_expected("a table");
            return Vec::new();
        };
        fields.keys().map(|name| (name.as_str(), self.field(name))).collect()
    }

    fn error_count(&self) -> usize {
        let errors = self.errors.borrow();
        errors.found.len() + errors.more
    }

    /// Returns `read` unless errors were recorded.
    ///
    /// # Errors
    ///
    /// All recorded errors.
    pub fn finish<T>(self, read: T) -> Result<T, ValidationErrors> {
        let errors = self.errors.take();
        if errors.is_empty() {
            Ok(read)
        } else {
            Err(errors)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use serde_json::json;

    #[gtest]
    fn all_errors_are_reported_at_once_with_their_paths() {
        let value =
            json!({"a": {"b": [{"n": -1}, {"n": 3}, {"n": "x"}]}, "t": 7, "e": "", "f": 1, "z": null});
        let at = Cursor::root(&value);
        let read: Vec<u64> = at.field("a").field("b").list().iter().map(|b| b.field("n").integer()).collect();
        expect_that!(read, elements_are![eq(&0), eq(&3), eq(&0)]);
        at.field("t").text();
        at.field("e").name();
        at.field("f").flag();
        at.field("z").number();
        at.field("l").list();
        expect_that!(at.field("z").optional(5, |at| at.integer()), eq(5));
        let errors = at.finish(()).unwrap_err();
        let paths: Vec<&str> = errors.found.iter().map(|f| f.path.as_str()).collect();
        expect_that!(paths, eq(&vec!["a.b[0].n", "a.b[2].n", "t", "e", "f", "z", "l"]));
        expect_that!(
            errors.to_string(),
            contains_substring("a.b[2].n: a whole number from 0 on is expected, not \"x\"")
        );
        expect_that!(errors.to_string(), contains_substring("l: missing: a list is expected"));
    }

    #[gtest]
    fn errors_above_the_limit_are_only_counted() {
        let value = json!(vec![-1; ERRORS_MAX + 7]);
        let at = Cursor::root(&value);
        let _: Vec<u64> = at.list().iter().map(Cursor::integer).collect();
        let errors = at.finish(()).unwrap_err();
        expect_that!((errors.found.len(), errors.more), eq((ERRORS_MAX, 7)));
        expect_that!(errors.to_string(), ends_with("and 7 more"));
    }
}
