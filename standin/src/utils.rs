//! Macros shared by the modules of this crate.

/// Declares data types with the derives that almost all of them need.
macro_rules! plain_data {
    ($($(#[$meta:meta])* $vis:vis $keyword:ident $name:ident { $($body:tt)* })+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            $vis $keyword $name { $($body)* }
        )+
    };
}
