"""State that the product keeps in the platform's store: its era, and watches of its kinds."""
