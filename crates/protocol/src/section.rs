//! Reading of settings: JSON with comments, where each mistake is kept with its place.

use crate::settings::Mistake;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Collects the mistakes of one file.
pub(crate) struct Report<'a> {
    pub(crate) text: &'a str,
    pub(crate) mistakes: RefCell<Vec<Mistake>>,
}

impl Report<'_> {
    pub(crate) fn add(&self, at: usize, key: String, expected: &str, found: String) {
        let line = self.text[..at.min(self.text.len())].matches('\n').count() + 1;
        let mistake = Mistake { line, key, expected: expected.to_owned(), found };
        self.mistakes.borrow_mut().push(mistake);
    }
}

/// One object of the settings; a missing one stands for its defaults.
pub(crate) struct Section<'a> {
    report: &'a Report<'a>,
    object: Option<&'a Object<'a>>,
    path: String,
    at: usize,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(report: &'a Report<'a>, value: &'a Value<'a>, path: String) -> Self {
        let object = value.as_object();
        let at = value.start();
        if object.is_none() {
            report.add(at, path.clone(), "an object", show(report.text, value));
        }
        Self { report, object, path, at, known: RefCell::default() }
    }

    pub(crate) fn section(&self, key: &'static str) -> Section<'a> {
        match self.value(key) {
            Some(value) => Section::new(self.report, value, self.name(key)),
            None => Section {
                report: self.report,
                object: None,
                path: self.name(key),
                at: self.at,
                known: RefCell::default(),
            },
        }
    }

    pub(crate) fn list(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.wrong(key, value, "an array of objects");
            return Vec::new();
        };
        let path = |place| format!("{}[{place}]", self.name(key));
        let elements = array.elements.iter().enumerate();
        elements.map(|(place, it)| Section::new(self.report, it, path(place))).collect()
    }

    pub(crate) fn text(&self, key: &'static str) -> String {
        self.required(key, "a string that is not empty", |value| {
            let text = value.as_string_lit()?.value.to_string();
            (!text.is_empty()).then_some(text)
        })
    }

    pub(crate) fn optional_text(&self, key: &'static str, default: &str) -> String {
        if self.value(key).is_some() { self.text(key) } else { default.to_owned() }
    }

    pub(crate) fn address(&self, key: &'static str) -> SocketAddr {
        self.required(key, ADDRESS, address)
    }

    pub(crate) fn optional_address(&self, key: &'static str) -> Option<SocketAddr> {
        self.value(key).map(|_| self.address(key))
    }

    pub(crate) fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let parsed = value.as_array().map(|it| it.elements.iter().map(address).collect());
        match parsed {
            Some(Some(list)) => list,
            _ => {
                self.wrong(key, value, "an array of IP:PORT strings");
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
        let parsed = value.as_number_lit().and_then(|it| it.value.parse().ok());
        match parsed.filter(|it| range.contains(it)) {
            Some(number) => number,
            None => {
                self.wrong(key, value, &expected);
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
                self.wrong(key, value, "true or false");
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
                self.missing(key, &expected);
            }
            return fallback;
        };
        let text = value.as_string_lit().map(|it| it.value.as_ref()).unwrap_or_default();
        match choices.iter().find(|(name, _)| *name == text) {
            Some((_, choice)) => *choice,
            None => {
                self.wrong(key, value, &expected);
                fallback
            }
        }
    }

    /// Reports the keys that nobody asked for.
    pub(crate) fn close(self) {
        let known = self.known.borrow();
        let properties = self.object.map_or(&[][..], |it| &it.properties);
        for property in properties.iter().filter(|it| !known.contains(it.name.as_str())) {
            let names: Vec<_> = known.iter().copied().collect();
            let expected = format!("one of the keys {}", names.join(", "));
            let name = property.name.as_str();
            self.report.add(property.start(), self.name(name), &expected, "another key".into());
        }
    }

    fn required<T: Placeholder>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&Value<'_>) -> Option<T>,
    ) -> T {
        let Some(value) = self.value(key) else {
            self.missing(key, expected);
            return T::placeholder();
        };
        parse(value).unwrap_or_else(|| {
            self.wrong(key, value, expected);
            T::placeholder()
        })
    }

    fn value(&self, key: &'static str) -> Option<&'a Value<'a>> {
        self.known.borrow_mut().insert(key);
        let properties = &self.object?.properties;
        properties.iter().find(|it| it.name.as_str() == key).map(|it| &it.value)
    }

    fn name(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn wrong(&self, key: &str, value: &Value<'_>, expected: &str) {
        let found = show(self.report.text, value);
        self.report.add(value.start(), self.name(key), expected, found);
    }

    fn missing(&self, key: &str, expected: &str) {
        self.report.add(self.at, self.name(key), expected, "nothing".to_owned());
    }
}

/// Stands in for a value that was reported as wrong.
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

const ADDRESS: &str = "a string IP:PORT";

/// Longest piece of a file shown in a mistake, in characters.
const SHOWN: usize = 40;

fn address(value: &Value<'_>) -> Option<SocketAddr> {
    value.as_string_lit()?.value.parse().ok()
}

fn show(text: &str, value: &Value<'_>) -> String {
    let range = value.range();
    text.get(range.start..range.end).unwrap_or_default().chars().take(SHOWN).collect()
}
