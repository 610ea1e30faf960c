//! A serde deserializer over HCL that keeps the position of every value.
//!
//! An attribute is a field. A block is a field too: without a label it is a struct, with a label it is a map
//! entry. The position of every value is stored by the path of its key, so that later checks can report it.

use hcl_edit::Span as _;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use serde::de::value::StrDeserializer;
use serde::de::{
    self, DeserializeOwned, DeserializeSeed, Error as _, MapAccess, SeqAccess, Unexpected, Visitor,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

/// An error at a position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceError {
    /// The byte offset in the text.
    pub at: usize,
    /// The path of the key.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

/// The byte offsets of the values of a file, by the paths of their keys.
#[derive(Clone, Debug, Default)]
pub struct Positions(BTreeMap<String, usize>);

impl Positions {
    /// Returns the position of a key, or of the nearest enclosing one if the key is not in the text.
    pub fn nearest(&self, key: &str) -> usize {
        let mut key = key;
        loop {
            if let Some(at) = self.0.get(key) {
                return *at;
            }
            let Some((outer, _)) = key.rsplit_once('.') else { return 0 };
            key = outer;
        }
    }
}

/// Returns the line and the column, both from 1, of a byte offset.
pub fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

/// Reads a value of any type from a body, with the positions of all values read.
///
/// # Errors
/// The first key or value that does not match the type.
pub fn read<T: DeserializeOwned>(body: &Body) -> Result<(T, Positions), SourceError> {
    let positions = RefCell::default();
    let path = KeyPath { positions: &positions, key: String::new(), at: 0 };
    let value = T::deserialize(Value { source: Source::Body(body), path: &path })
        .map_err(|e| path.source_error(e))?;
    Ok((value, positions.take()))
}

/// The path and the position of a value.
struct KeyPath<'a> {
    positions: &'a RefCell<Positions>,
    key: String,
    at: usize,
}

impl<'a> KeyPath<'a> {
    fn child(&self, name: &str, at: Option<usize>) -> KeyPath<'a> {
        let key = if self.key.is_empty() { name.to_string() } else { format!("{}.{name}", self.key) };
        let at = at.unwrap_or(self.at);
        self.positions.borrow_mut().0.insert(key.clone(), at);
        KeyPath { positions: self.positions, key, at }
    }

    /// Gives an error this position, unless it already has a more specific one.
    fn source_error(&self, error: ReadError) -> SourceError {
        match error {
            ReadError::Located(error) => error,
            ReadError::Unlocated(what) => SourceError { at: self.at, key: self.key.clone(), what },
            ReadError::Unknown { name, expected } => {
                let at = self.positions.borrow().nearest(&self.child_key(&name));
                let near = expected
                    .iter()
                    .map(|known| (strsim::damerau_levenshtein(known, &name), *known))
                    .min()
                    // At a greater distance the key is probably a different word, not a misspelling.
                    .filter(|(distance, known)| *distance <= known.len().div_ceil(3));
                let what = match near {
                    Some((_, near)) => format!("is not known; did you mean {near:?}?"),
                    None => format!("is not known; expected one of {}", expected.join(", ")),
                };
                SourceError { at, key: self.child_key(&name), what }
            }
        }
    }

    fn child_key(&self, name: &str) -> String {
        if self.key.is_empty() { name.to_string() } else { format!("{}.{name}", self.key) }
    }

    fn locate<T>(&self, read: Result<T, ReadError>) -> Result<T, ReadError> {
        read.map_err(|error| ReadError::Located(self.source_error(error)))
    }
}

/// An error from serde, with its position once that is known.
#[derive(Debug)]
enum ReadError {
    Unlocated(String),
    Unknown { name: String, expected: &'static [&'static str] },
    Located(SourceError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Unlocated(what) => f.write_str(what),
            ReadError::Unknown { name, .. } => write!(f, "{name} is not known"),
            ReadError::Located(error) => f.write_str(&error.what),
        }
    }
}

impl std::error::Error for ReadError {}

impl de::Error for ReadError {
    fn custom<T: fmt::Display>(what: T) -> ReadError {
        ReadError::Unlocated(what.to_string())
    }

    fn invalid_type(found: Unexpected, expected: &dyn de::Expected) -> ReadError {
        // Replaces Rust type names by descriptions for operators.
        let expected = match expected.to_string().as_str() {
            "usize" | "u64" => "a whole number of 0 or more".to_string(),
            "a sequence" => "a list".to_string(),
            "socket address" => "an IP address with a port".to_string(),
            other => other.to_string(),
        };
        ReadError::Unlocated(format!("must be {expected}, not {}", describe(found)))
    }

    fn invalid_value(found: Unexpected, expected: &dyn de::Expected) -> ReadError {
        ReadError::invalid_type(found, expected)
    }

    fn unknown_field(name: &str, expected: &'static [&'static str]) -> ReadError {
        ReadError::Unknown { name: name.to_string(), expected }
    }

    fn unknown_variant(name: &str, expected: &'static [&'static str]) -> ReadError {
        ReadError::Unlocated(format!("must be one of {}, not {name:?}", expected.join(", ")))
    }

    fn missing_field(name: &'static str) -> ReadError {
        ReadError::Unlocated(format!("{name} is missing"))
    }
}

/// Describes a found value in the terms of the file format.
fn describe(found: Unexpected) -> String {
    match found {
        Unexpected::Str(text) => format!("{text:?}"),
        Unexpected::Unsigned(n) => format!("the bare number {n}"),
        Unexpected::Signed(n) => format!("the bare number {n}"),
        Unexpected::Float(n) => format!("the bare number {n}"),
        Unexpected::Bool(flag) => flag.to_string(),
        Unexpected::Unit => "null".to_string(),
        Unexpected::Seq => "a list".to_string(),
        Unexpected::Map => "a block".to_string(),
        other => other.to_string(),
    }
}

/// The syntax node that a value is read from.
#[derive(Clone, Copy)]
enum Source<'a> {
    Body(&'a Body),
    /// All blocks of one name.
    Blocks(&'a [&'a Block]),
    Plain(&'a Expression),
}

struct Value<'a> {
    source: Source<'a>,
    path: &'a KeyPath<'a>,
}

impl<'a> Value<'a> {
    /// Returns the body of a single block without a label.
    fn body(&self) -> Result<&'a Body, ReadError> {
        match self.source {
            Source::Body(body) => Ok(body),
            Source::Blocks([block]) if block.labels.is_empty() => Ok(&block.body),
            Source::Blocks([block, ..]) if !block.labels.is_empty() => {
                Err(ReadError::Unlocated("takes no label".to_string()))
            }
            Source::Blocks(_) => Err(ReadError::Unlocated("must appear only once".to_string())),
            Source::Plain(_) => Err(ReadError::Unlocated("must be a block, as in NAME { … }".to_string())),
        }
    }
}

impl<'de> de::Deserializer<'de> for Value<'_> {
    type Error = ReadError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        let Source::Plain(value) = self.source else {
            return Err(ReadError::invalid_type(Unexpected::Map, &visitor));
        };
        match value {
            Expression::Null(_) => visitor.visit_unit(),
            Expression::Bool(flag) => visitor.visit_bool(*flag.value()),
            Expression::String(text) => visitor.visit_str(text.value()),
            Expression::Number(number) => {
                let number = number.value();
                match (number.as_u64(), number.as_i64(), number.as_f64()) {
                    (Some(n), _, _) => visitor.visit_u64(n),
                    (_, Some(n), _) => visitor.visit_i64(n),
                    (_, _, n) => visitor.visit_f64(n.unwrap_or(f64::NAN)),
                }
            }
            Expression::Array(array) => {
                visitor.visit_seq(Items { items: array.iter(), index: 0, path: self.path })
            }
            _ => Err(ReadError::Unlocated(
                "must be a literal value: expressions are not supported".to_string(),
            )),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_some(self)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        let fields = fields(self.body()?, self.path)?;
        let read = visitor.visit_map(Fields { rest: &fields, path: self.path });
        self.path.locate(read)
    }

    /// Reads a map from labelled blocks.
    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        let Source::Blocks(blocks) = self.source else {
            return Err(ReadError::Unlocated(
                "must be a block with a label, as in NAME \"label\" { … }".to_string(),
            ));
        };
        let mut labelled: BTreeMap<&str, &Block> = BTreeMap::new();
        for block in blocks {
            let [label] = &block.labels[..] else {
                let path = KeyPath { at: start(block.span()), key: self.path.key.clone(), ..*self.path };
                return path.locate(Err(ReadError::Unlocated(
                    "needs one label, as in NAME \"label\" { … }".to_string(),
                )));
            };
            if labelled.insert(label.as_str(), block).is_some() {
                let path = KeyPath {
                    at: start(block.span()),
                    key: self.path.child_key(label.as_str()),
                    ..*self.path
                };
                return path.locate(Err(ReadError::Unlocated("is defined twice".to_string())));
            }
        }
        let entries: Vec<Field> =
            labelled.iter().map(|(label, block)| Field::Block(label, std::slice::from_ref(block))).collect();
        visitor.visit_map(Fields { rest: &entries, path: self.path })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        match self.source {
            Source::Plain(Expression::String(text)) => {
                StrDeserializer::new(text.value()).deserialize_enum(name, variants, visitor)
            }
            _ => Err(ReadError::Unlocated(format!("must be one of {}", variants.join(", ")))),
        }
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct
        newtype_struct seq tuple tuple_struct identifier ignored_any
    }
}

/// A field of a body.
enum Field<'a> {
    Attribute(&'a str, &'a Expression, usize),
    /// A labelled block as a map entry: the label and the block.
    Block(&'a str, &'a [&'a Block]),
    Blocks(&'a str, Vec<&'a Block>),
}

fn start(span: Option<std::ops::Range<usize>>) -> usize {
    span.map_or(0, |span| span.start)
}

/// Returns the fields of a body, with blocks of the same name grouped.
fn fields<'a>(body: &'a Body, path: &KeyPath) -> Result<Vec<Field<'a>>, ReadError> {
    let mut fields: Vec<Field> = Vec::new();
    for structure in body {
        match structure {
            Structure::Attribute(attribute) => {
                let (name, at) = (attribute.key.as_str(), start(attribute.span()));
                // The parser rejects duplicate attributes, but not an attribute with the name of a block.
                if fields.iter().any(|f| matches!(f, Field::Blocks(other, _) if *other == name)) {
                    return path
                        .child(name, Some(at))
                        .locate(Err(ReadError::Unlocated("is already defined as a block".to_string())));
                }
                fields.push(Field::Attribute(name, &attribute.value, at));
            }
            Structure::Block(block) => {
                let name = block.ident.as_str();
                let same = fields.iter_mut().find_map(|field| match field {
                    Field::Blocks(other, blocks) if *other == name => Some(blocks),
                    _ => None,
                });
                match same {
                    Some(blocks) => blocks.push(block),
                    None => fields.push(Field::Blocks(name, vec![block])),
                }
            }
        }
    }
    Ok(fields)
}

struct Fields<'a> {
    rest: &'a [Field<'a>],
    path: &'a KeyPath<'a>,
}

impl<'de> MapAccess<'de> for Fields<'_> {
    type Error = ReadError;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, ReadError> {
        let Some(field) = self.rest.first() else { return Ok(None) };
        let (name, at) = match field {
            Field::Attribute(name, _, at) => (*name, Some(*at)),
            Field::Block(name, blocks) => (*name, blocks.first().map(|block| start(block.span()))),
            Field::Blocks(name, blocks) => (*name, blocks.first().map(|block| start(block.span()))),
        };
        self.path.child(name, at);
        seed.deserialize(StrDeserializer::new(name)).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, ReadError> {
        let Some((field, rest)) = self.rest.split_first() else {
            return Err(ReadError::Unlocated("a value without a key".to_string()));
        };
        self.rest = rest;
        let (name, source) = match field {
            Field::Attribute(name, value, _) => (*name, Source::Plain(value)),
            Field::Block(name, blocks) => {
                // The label is the key; the body is the value.
                let path = self.path.child(name, blocks.first().map(|block| start(block.span())));
                let body = blocks.first().map(|block| Source::Body(&block.body));
                let value = Value { source: body.unwrap_or(Source::Blocks(&[])), path: &path };
                return path.locate(seed.deserialize(value));
            }
            Field::Blocks(name, blocks) => (*name, Source::Blocks(blocks)),
        };
        let at = self.path.positions.borrow().nearest(&self.path.child_key(name));
        let path = self.path.child(name, Some(at));
        path.locate(seed.deserialize(Value { source, path: &path }))
    }
}

struct Items<'a, I> {
    items: I,
    index: usize,
    path: &'a KeyPath<'a>,
}

impl<'de, 'a, I: Iterator<Item = &'a Expression>> SeqAccess<'de> for Items<'_, I> {
    type Error = ReadError;

    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, ReadError> {
        let Some(item) = self.items.next() else { return Ok(None) };
        let path = self.path.child(&self.index.to_string(), item.span().map(|span| span.start));
        self.index += 1;
        path.locate(seed.deserialize(Value { source: Source::Plain(item), path: &path })).map(Some)
    }
}
