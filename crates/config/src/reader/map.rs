//! A mapping whose fields are taken one by one.

use std::fs;
use std::path::Path;

use marked_yaml::LoaderOptions;
use marked_yaml::Node;

use crate::reader::ConfigError;
use crate::reader::Field;

/// A YAML mapping whose fields are taken one by one; what is left at the end is refused.
#[derive(Debug)]
pub struct MapReader<'a> {
    file: &'a str,
    path: String,
    line: usize,
    /// Fields not yet taken, in the order of the document.
    fields: Vec<(&'a str, &'a Node)>,
    known: Vec<String>,
}

/// Reads a whole text file.
pub fn read_file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|e| ConfigError::Unreadable {
        file: path.display().to_string(),
        why: e.to_string(),
    })
}

/// Parses a document whose top is a mapping. `file` is used in errors only.
pub fn parse(file: &str, text: &str) -> Result<Node, ConfigError> {
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    marked_yaml::parse_yaml_with_options(0, text, options)
        .map_err(|e| ConfigError::Malformed { file: file.to_owned(), why: e.to_string() })
}

impl<'a> MapReader<'a> {
    /// Reads the top of a parsed document.
    pub fn top(file: &'a str, node: &'a Node) -> Result<Self, ConfigError> {
        Self::new(file, String::new(), node)
    }

    /// Reads a mapping at `path`.
    pub(crate) fn new(file: &'a str, path: String, node: &'a Node) -> Result<Self, ConfigError> {
        let line = line_of(node);
        let Some(map) = node.as_mapping() else {
            let (file, value) = (file.to_owned(), describe(node));
            let expected = "a mapping of fields".to_owned();
            return Err(ConfigError::Invalid { file, line, field: path, value, expected });
        };
        let fields = map.iter().map(|(key, value)| (key.as_str(), value)).collect();
        Ok(Self { file, path, line, fields, known: Vec::new() })
    }

    /// Takes a field that must be there; `expected` says what it holds.
    pub fn required(&mut self, name: &str, expected: &str) -> Result<Field<'a>, ConfigError> {
        self.optional(name).ok_or_else(|| ConfigError::Missing {
            file: self.file.to_owned(),
            line: self.line,
            field: self.path_of(name),
            expected: expected.to_owned(),
        })
    }

    /// Takes a field that may be absent.
    pub fn optional(&mut self, name: &str) -> Option<Field<'a>> {
        self.known.push(name.to_owned());
        let index = self.fields.iter().position(|(field, _)| *field == name)?;
        let (_, node) = self.fields.remove(index);
        Some(Field::new(self.file, self.path_of(name), node))
    }

    /// Takes every field that is left, for a mapping whose names are free.
    pub fn rest(&mut self) -> Vec<(&'a str, Field<'a>)> {
        let fields = std::mem::take(&mut self.fields);
        let path = &self.path;
        let field = |(name, node)| (name, Field::new(self.file, join(path, name), node));
        fields.into_iter().map(field).collect()
    }

    /// Returns the line where the mapping starts.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Refuses any field that was not taken.
    pub fn finish(self) -> Result<(), ConfigError> {
        let Some((name, node)) = self.fields.first() else {
            return Ok(());
        };
        Err(ConfigError::Unknown {
            file: self.file.to_owned(),
            line: line_of(node),
            field: self.path_of(name),
            expected: self.known.join(", "),
        })
    }

    fn path_of(&self, name: &str) -> String {
        join(&self.path, name)
    }
}

fn join(path: &str, name: &str) -> String {
    match path.is_empty() {
        true => name.to_owned(),
        false => format!("{path}.{name}"),
    }
}

pub(crate) fn line_of(node: &Node) -> usize {
    node.span().start().map_or(0, marked_yaml::Marker::line)
}

pub(crate) fn describe(node: &Node) -> String {
    match node {
        Node::Scalar(scalar) => scalar.as_str().to_owned(),
        Node::Mapping(_) => "a mapping".to_owned(),
        Node::Sequence(_) => "a list".to_owned(),
    }
}
