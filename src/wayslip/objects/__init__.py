"""The platform's object API: kinds of objects, client and informer."""
