"""What is kept in the state service: records, their local mirror, request budgets."""
