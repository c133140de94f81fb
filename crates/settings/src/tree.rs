//! YAML syntax tree whose nodes record their position in the text.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use serde_saphyr::{Location, Spanned};

/// A position in a text; lines and columns start at 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TextPosition {
    pub line: u64,
    pub column: u64,
}

impl From<Location> for TextPosition {
    fn from(location: Location) -> Self {
        Self { line: location.line(), column: location.column() }
    }
}

/// A value and its position.
#[derive(Debug)]
pub(crate) struct TreeNode {
    pub position: TextPosition,
    pub value: TreeValue,
}

/// A scalar, list or map, without its own position.
#[derive(Debug)]
pub(crate) enum TreeValue {
    Scalar(Value),
    List(Vec<TreeNode>),
    Map(Vec<TreeField>),
}

/// A key of a map, the position of the key, and the value.
#[derive(Debug)]
pub(crate) struct TreeField {
    pub name: String,
    pub position: TextPosition,
    pub node: TreeNode,
}

impl TreeNode {
    /// Returns the fields of a map, none for an absent (null) value, and `None` for other values.
    pub fn fields(&self) -> Option<&[TreeField]> {
        match &self.value {
            TreeValue::Map(fields) => Some(fields),
            TreeValue::Scalar(Value::Null) => Some(&[]),
            _ => None,
        }
    }

    /// Returns the value as JSON, without positions.
    pub fn to_json(&self) -> Value {
        match &self.value {
            TreeValue::Scalar(scalar) => scalar.clone(),
            TreeValue::List(items) => items.iter().map(Self::to_json).collect(),
            TreeValue::Map(fields) => {
                let pairs = fields.iter().map(|field| (field.name.clone(), field.node.to_json()));
                Value::Object(pairs.collect::<Map<_, _>>())
            }
        }
    }
}

impl<'de> Deserialize<'de> for TreeNode {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let spanned = Spanned::<TreeValue>::deserialize(deserializer)?;
        Ok(Self { position: spanned.referenced.into(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for TreeValue {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = TreeValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a scalar, a list or a map")
    }

    fn visit_bool<E>(self, flag: bool) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(flag.into()))
    }

    fn visit_i64<E>(self, number: i64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(number.into()))
    }

    fn visit_u64<E>(self, number: u64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(number.into()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(number.into()))
    }

    fn visit_str<E>(self, text: &str) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(text.into()))
    }

    fn visit_unit<E>(self) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(Value::Null))
    }

    fn visit_none<E>(self) -> Result<TreeValue, E> {
        Ok(TreeValue::Scalar(Value::Null))
    }

    fn visit_some<D>(self, deserializer: D) -> Result<TreeValue, D::Error>
    where
        D: Deserializer<'de>,
    {
        TreeValue::deserialize(deserializer)
    }

    fn visit_seq<A>(self, mut sequence: A) -> Result<TreeValue, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            items.push(item);
        }
        Ok(TreeValue::List(items))
    }

    fn visit_map<A>(self, mut map: A) -> Result<TreeValue, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut fields = Vec::new();
        while let Some((key, node)) = map.next_entry::<Spanned<String>, TreeNode>()? {
            fields.push(TreeField { name: key.value, position: key.referenced.into(), node });
        }
        Ok(TreeValue::Map(fields))
    }
}
