"""Which of the system's own processes exist, which of them answer, and who does which duty."""
