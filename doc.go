// Package zinniamast is the root of a serving system for language-model
// assistants and business services on reclaimable instances.
//
// It declares the interfaces to every external system and the plain data types
// that they exchange. Implementations live in the packages below, each named
// after the peer or protocol that it implements.
package zinniamast
