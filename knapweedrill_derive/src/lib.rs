//! Attribute macros that derive common sets of traits for knapweedrill types.
//!
//! Each attribute names a set, so that types with the same purpose derive the same traits. The
//! macros add a `#[derive(..)]` in front of the item and leave the item itself unchanged.

use proc_macro::TokenStream;

/// Derives the traits of a type that is sent between processes.
///
/// Adds `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(
        "Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives the traits of a small type that is a map key and is sent between processes.
///
/// Adds the traits of [`macro@message`] and `Copy`, `Hash`, `PartialOrd` and `Ord`.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(
        "Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, \
         ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives the traits of a type that is used within one process only.
///
/// Adds `Debug`, `Clone` and `PartialEq`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives("Debug, Clone, PartialEq", item)
}

fn prepend_derives(traits: &str, item: TokenStream) -> TokenStream {
    let derive = format!("#[derive({traits})]");
    let mut tokens: TokenStream = derive
        .parse()
        .expect("the derive attribute parses as Rust tokens");
    tokens.extend(item);
    tokens
}
