//! ivyweir
fn main() {}
