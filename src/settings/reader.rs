//! Reads a YAML mapping key by key and collects all its faults.

use super::Fault;
use marked_yaml::{
    Node,
    Span,
    types::MarkedMappingNode, //
};
use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    str::FromStr, //
};

/// Reads one mapping of a document. All readers of a document share one list of faults.
///
/// For an invalid or missing key, the reader records a fault and returns a default value, so
/// that reading continues and all faults are reported at once.
pub struct Reader<'a> {
    faults: Rc<RefCell<Vec<Fault>>>,
    mapping: Option<&'a MarkedMappingNode>,
    /// The path of the mapping inside the document.
    path: String,
    /// The keys that were read, present or not; any other key of the mapping is unknown.
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a document's root.
    pub fn new(root: &'a Node, faults: Rc<RefCell<Vec<Fault>>>) -> Self {
        Self::from_node(Some(root), String::new(), faults)
    }

    /// The value that `words` assigns to the word at `key`; `default` if the key is absent.
    pub fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> Option<T> {
        let Some(node) = self.get(key) else {
            if default.is_none() {
                self.push_missing(key, &list_choices(words));
            }
            return default;
        };
        let text = node
            .as_scalar()
            .map(marked_yaml::types::MarkedScalarNode::as_str);
        let found = words.iter().find(|(word, _)| Some(*word) == text);
        if found.is_none() {
            self.push_unexpected(key, node, &list_choices(words));
        }
        found.map(|(_, value)| *value).or(default)
    }

    /// Records a fault: the value at `key` is not allowed.
    pub fn reject(&self, key: &str, expected: &str, found: &str) {
        let span = self.get(key).map(Node::span);
        let span = span.or(self.mapping.map(MarkedMappingNode::span));
        self.push_fault(key, span, expected, found.to_owned());
    }

    /// Readers of the mappings inside the mapping at `key`, each with its name, which the user
    /// chooses.
    pub fn sections(&self, key: &str) -> Vec<(String, Reader<'a>)> {
        let inner = self.section(key);
        let Some(mapping) = inner.mapping else {
            return Vec::new();
        };
        mapping
            .iter()
            .map(|(name, node)| {
                let name = name.as_str().to_owned();
                let path = format!("{}.{name}", inner.path);
                (name, Self::from_node(Some(node), path, self.faults.clone()))
            })
            .collect()
    }

    /// Ends reading and records a fault for each key of the mapping that was not read.
    pub fn finish(&self) {
        let Some(mapping) = self.mapping else {
            return;
        };
        let read_keys = self.read_keys.borrow();
        for (key, _) in mapping.iter() {
            if read_keys.contains(key.as_str()) {
                continue;
            }
            let known: Vec<&str> = read_keys.iter().map(String::as_str).collect();
            let expected = format!("one of {}", known.join(", "));
            let found = format!("unknown key `{}`", key.as_str());
            self.push_fault(key.as_str(), Some(key.span()), &expected, found);
        }
    }

    /// Whether the mapping has `key`.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// The keys of the mapping at `key`, which the user chooses.
    pub fn keys(&self, key: &str) -> Vec<String> {
        let inner = self.section(key);
        let keys = inner.mapping.into_iter().flat_map(|m| m.keys());
        keys.map(|name| name.as_str().to_owned()).collect()
    }

    /// The number at `key`; `default` if the key is absent. A number outside of `range` is a
    /// fault and reads as the start of `range`.
    pub fn number(
        &self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value = self.value::<u64>(key, &expected, default);
        if !range.contains(&value) && self.get(key).is_some() {
            self.reject(key, &expected, &value.to_string());
            return *range.start();
        }
        value
    }

    /// A reader of the mapping at `key`; an absent mapping reads as empty.
    pub fn section(&self, key: &str) -> Reader<'a> {
        let node = self.get(key);
        Self::from_node(node, self.path_to(key), self.faults.clone())
    }

    /// The text at `key`, which must not be empty.
    pub fn text(&self, key: &str, default: Option<&str>) -> String {
        let value: String = self.value(key, "a text", default.map(str::to_owned));
        if value.is_empty() && self.get(key).is_some() {
            self.reject(key, "a text that is not empty", "an empty one");
        }
        value
    }

    /// The list of texts at `key`; empty if the key is absent.
    pub fn texts(&self, key: &str) -> Vec<String> {
        let Some(node) = self.get(key) else {
            return Vec::new();
        };
        let Some(list) = node.as_sequence() else {
            self.push_unexpected(key, node, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in list.iter() {
            match item.as_scalar() {
                Some(scalar) => texts.push(scalar.as_str().to_owned()),
                None => self.push_unexpected(key, item, "a text"),
            }
        }
        texts
    }

    /// The value at `key`, parsed from its text. `expected` describes a valid one in faults.
    pub fn value<T: FromStr + Default>(&self, key: &str, expected: &str, default: Option<T>) -> T {
        let Some(node) = self.get(key) else {
            if default.is_none() {
                self.push_missing(key, expected);
            }
            return default.unwrap_or_default();
        };
        let parsed = node.as_scalar().and_then(|s| s.as_str().parse().ok());
        if parsed.is_none() {
            self.push_unexpected(key, node, expected);
        }
        parsed.unwrap_or_default()
    }

    /// Records that `node`, the value at `key`, is not what was expected.
    fn push_unexpected(&self, key: &str, node: &Node, expected: &str) {
        let found = match node {
            Node::Mapping(_) => "a mapping".to_owned(),
            Node::Scalar(scalar) => format!("`{}`", scalar.as_str()),
            Node::Sequence(_) => "a list".to_owned(),
        };
        self.push_fault(key, Some(node.span()), expected, found);
    }

    /// Records that `key` is missing.
    fn push_missing(&self, key: &str, expected: &str) {
        let mapping = self.mapping;
        let first = mapping.and_then(|mapping| mapping.keys().next());
        let span = first.map(marked_yaml::types::MarkedScalarNode::span);
        let span = span.or(mapping.map(MarkedMappingNode::span));
        self.push_fault(key, span, expected, "nothing".into());
    }

    /// The value at `key`. Marks `key` as known.
    fn get(&self, key: &str) -> Option<&'a Node> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.mapping?.get_node(key)
    }

    fn from_node(node: Option<&'a Node>, path: String, faults: Rc<RefCell<Vec<Fault>>>) -> Self {
        let reader = Self {
            faults,
            mapping: node.and_then(Node::as_mapping),
            path,
            read_keys: RefCell::default(),
        };
        if let Some(node) = node
            && reader.mapping.is_none()
        {
            reader.push_unexpected("", node, "a mapping");
        }
        reader
    }

    fn path_to(&self, key: &str) -> String {
        match (self.path.as_str(), key) {
            ("", key) => key.to_owned(),
            (path, "") => path.to_owned(),
            (path, key) => format!("{path}.{key}"),
        }
    }

    fn push_fault(&self, key: &str, span: Option<&Span>, expected: &str, found: String) {
        let start = span.and_then(Span::start);
        self.faults.borrow_mut().push(Fault {
            column: start.map_or(1, marked_yaml::Marker::column),
            expected: expected.to_owned(),
            found,
            line: start.map_or(1, marked_yaml::Marker::line),
            path: self.path_to(key),
        });
    }
}

fn list_choices<T>(words: &[(&str, T)]) -> String {
    let words: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
    format!("one of {}", words.join(", "))
}
