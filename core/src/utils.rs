//! Macros that declare data types.

/// Declares data types with the derives `Clone, Debug, PartialEq, Eq, Serialize, Deserialize`.
/// Further derives go on the item.
macro_rules! plain_data {
    ($($(#[$meta:meta])* $vis:vis $keyword:ident $name:ident { $($body:tt)* })+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            $vis $keyword $name { $($body)* }
        )+
    };
}

/// Declares string identifiers. They share the string, so a clone copies only a pointer.
macro_rules! string_id {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(serde::Serialize, serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// Returns the identifier as a string slice.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    formatter.write_str(&self.0)
                }
            }
        )+
    };
}

/// Declares newtypes of `u64` that are copyable, ordered and hashable.
macro_rules! number_type {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(serde::Serialize, serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl std::fmt::Display for $name {
                fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(formatter)
                }
            }
        )+
    };
}
