"""What a machine keeps on its disk, in one sqlite3 database."""
