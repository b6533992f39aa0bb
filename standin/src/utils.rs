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
