//! Newtypes of numbers that identify or timestamp something in messages and documents.

/// Defines such a newtype: ordered, hashable, and serialized as the plain number on the wire and in JSON.
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
