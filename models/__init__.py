"""Small explicit-state models of sagecove's protocols, searched by the tests."""
