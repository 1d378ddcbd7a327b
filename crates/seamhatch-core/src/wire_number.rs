//! Numbers that name or date something in messages and documents.

/// Defines such a number: ordered, hashable, and the plain number on the wire and in JSON.
macro_rules! wire_number {
    ($(#[$attribute:meta])* pub struct $name:ident(pub $number:ident);) => {
        $(#[$attribute])*
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            speedy::Readable,
            speedy::Writable,
            serde::Serialize,
            serde::Deserialize,
        )]
        pub struct $name(pub $number);
    };
}

pub(crate) use wire_number;
