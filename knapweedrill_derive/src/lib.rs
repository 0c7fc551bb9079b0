//! Common sets of derives for the types of knapweedrill.
//!
//! Each attribute stands for one set, so that types which play the same role derive the same
//! traits. The macros add a `#[derive(..)]` in front of the item and change nothing else.

use proc_macro::TokenStream;

/// Derives what a type needs that travels between processes.
///
/// Adds `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives what a small type needs that serves as a key of a map and travels between processes.
///
/// Adds the set of [`macro@message`] and `Copy`, `Hash`, `PartialOrd` and `Ord`.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, \
         ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives what a type needs that stays inside a process.
///
/// Adds `Debug`, `Clone` and `PartialEq`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq", item)
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let derive = format!("#[derive({traits})]");
    let mut tokens: TokenStream = derive.parse().expect("a list of traits is valid Rust");
    tokens.extend(item);
    tokens
}
