//! Typed access to a settings file, JSON with comments; collects every error with its line and key.

use crate::settings::Diagnostic;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Collects the errors of one file.
pub(crate) struct Diagnostics<'a> {
    pub(crate) source: &'a str,
    pub(crate) list: RefCell<Vec<Diagnostic>>,
}

impl Diagnostics<'_> {
    pub(crate) fn add(&self, offset: usize, key: String, expected: &str, found: String) {
        let line = self.source[..offset.min(self.source.len())].matches('\n').count() + 1;
        let diagnostic = Diagnostic { line, key, expected: expected.to_owned(), found };
        self.list.borrow_mut().push(diagnostic);
    }
}

/// An object of the settings; a missing one reads as an empty object.
pub(crate) struct Section<'a> {
    diagnostics: &'a Diagnostics<'a>,
    object: Option<&'a Object<'a>>,
    path: String,
    offset: usize,
    requested: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(
        diagnostics: &'a Diagnostics<'a>,
        value: &'a Value<'a>,
        path: String,
    ) -> Self {
        let object = value.as_object();
        let offset = value.start();
        if object.is_none() {
            diagnostics.add(offset, path.clone(), "an object", excerpt(diagnostics.source, value));
        }
        Self { diagnostics, object, path, offset, requested: RefCell::default() }
    }

    pub(crate) fn section(&self, key: &'static str) -> Section<'a> {
        match self.value(key) {
            Some(value) => Section::new(self.diagnostics, value, self.key_path(key)),
            None => Section {
                diagnostics: self.diagnostics,
                object: None,
                path: self.key_path(key),
                offset: self.offset,
                requested: RefCell::default(),
            },
        }
    }

    pub(crate) fn list(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report_invalid(key, value, "an array of objects");
            return Vec::new();
        };
        let path = |index| format!("{}[{index}]", self.key_path(key));
        let elements = array.elements.iter().enumerate();
        elements
            .map(|(index, element)| Section::new(self.diagnostics, element, path(index)))
            .collect()
    }

    pub(crate) fn text(&self, key: &'static str) -> String {
        self.required(key, "a non-empty string", |value| {
            let text = value.as_string_lit()?.value.to_string();
            (!text.is_empty()).then_some(text)
        })
    }

    pub(crate) fn optional_text(&self, key: &'static str, default: &str) -> String {
        if self.value(key).is_some() { self.text(key) } else { default.to_owned() }
    }

    pub(crate) fn address(&self, key: &'static str) -> SocketAddr {
        self.required(key, EXPECTED_ADDRESS, parse_address)
    }

    pub(crate) fn optional_address(&self, key: &'static str) -> Option<SocketAddr> {
        self.value(key).map(|_| self.address(key))
    }

    pub(crate) fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let parsed =
            value.as_array().map(|array| array.elements.iter().map(parse_address).collect());
        match parsed {
            Some(Some(list)) => list,
            _ => {
                self.report_invalid(key, value, "an array of IP:PORT strings");
                Vec::new()
            }
        }
    }

    pub(crate) fn number(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(value) = self.value(key) else {
            return default;
        };
        let parsed = value.as_number_lit().and_then(|literal| literal.value.parse().ok());
        match parsed.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                self.report_invalid(key, value, &expected);
                default
            }
        }
    }

    pub(crate) fn flag(&self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.value(key) else {
            return default;
        };
        match value.as_boolean_lit() {
            Some(literal) => literal.value,
            None => {
                self.report_invalid(key, value, "true or false");
                default
            }
        }
    }

    pub(crate) fn choice<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> T {
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let fallback = default.unwrap_or(choices[0].1);
        let Some(value) = self.value(key) else {
            if default.is_none() {
                self.report_missing(key, &expected);
            }
            return fallback;
        };
        let text = value.as_string_lit().map(|literal| literal.value.as_ref()).unwrap_or_default();
        match choices.iter().find(|(name, _)| *name == text) {
            Some((_, choice)) => *choice,
            None => {
                self.report_invalid(key, value, &expected);
                fallback
            }
        }
    }

    /// Reports each key of the object that was never requested as unknown.
    pub(crate) fn reject_unknown_keys(self) {
        let requested = self.requested.borrow();
        let properties = self.object.map_or(&[][..], |object| &object.properties);
        for property in
            properties.iter().filter(|property| !requested.contains(property.name.as_str()))
        {
            let names: Vec<_> = requested.iter().copied().collect();
            let expected = format!("one of the keys {}", names.join(", "));
            let name = property.name.as_str();
            self.diagnostics.add(
                property.start(),
                self.key_path(name),
                &expected,
                "an unknown key".into(),
            );
        }
    }

    fn required<T: Placeholder>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&Value<'_>) -> Option<T>,
    ) -> T {
        let Some(value) = self.value(key) else {
            self.report_missing(key, expected);
            return T::placeholder();
        };
        parse(value).unwrap_or_else(|| {
            self.report_invalid(key, value, expected);
            T::placeholder()
        })
    }

    fn value(&self, key: &'static str) -> Option<&'a Value<'a>> {
        self.requested.borrow_mut().insert(key);
        let properties = &self.object?.properties;
        properties
            .iter()
            .find(|property| property.name.as_str() == key)
            .map(|property| &property.value)
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn report_invalid(&self, key: &str, value: &Value<'_>, expected: &str) {
        let found = excerpt(self.diagnostics.source, value);
        self.diagnostics.add(value.start(), self.key_path(key), expected, found);
    }

    fn report_missing(&self, key: &str, expected: &str) {
        self.diagnostics.add(self.offset, self.key_path(key), expected, "nothing".to_owned());
    }
}

/// Value used in place of one that was reported, so that the rest of the file is still checked.
trait Placeholder {
    fn placeholder() -> Self;
}

impl Placeholder for String {
    fn placeholder() -> Self {
        Self::new()
    }
}

impl Placeholder for SocketAddr {
    fn placeholder() -> Self {
        Self::from(([127, 0, 0, 1], 0))
    }
}

const EXPECTED_ADDRESS: &str = "a string IP:PORT";

/// Longest excerpt of a file in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 40;

fn parse_address(value: &Value<'_>) -> Option<SocketAddr> {
    value.as_string_lit()?.value.parse().ok()
}

fn excerpt(source: &str, value: &Value<'_>) -> String {
    let range = value.range();
    source.get(range.start..range.end).unwrap_or_default().chars().take(MAX_EXCERPT_CHARS).collect()
}
