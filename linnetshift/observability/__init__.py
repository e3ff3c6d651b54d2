"""Log lines, reasons and resource usage."""
