"""Team limits and guarantees across all controllers: shares, transfers and claim totals."""
