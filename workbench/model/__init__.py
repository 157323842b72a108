"""The model of what a node serves. It knows neither event loop nor socket: parts take a clock and call
back."""
