//! What the product asks of an object API.

pub(crate) mod object_api;
pub(crate) mod object_store;

#[cfg(test)]
mod tests;
