"""Virtual-clock models that the decisions are measured against."""
