"""Names, formats and calls of the platform. No decisions are made here."""
